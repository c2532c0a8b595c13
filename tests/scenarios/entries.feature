Feature: Callers before a site of entries and engines

  Scenario: Answers are whole through every entry
    Given a site with 3 entries and 4 engines
    When 12 callers send prompts of 500 tokens
    Then every answer is whole
    And within 5 seconds no engine holds memory

  Scenario: An engine dies while it answers
    Given a site with 2 entries and 3 engines
    When 12 callers send prompts of 500 tokens
    And 0.5 seconds pass
    And engine 2 is killed
    Then every answer is whole
    And some streams were started a second time
    And within 5 seconds no engine holds memory

  Scenario: An entry is paused while it answers
    Given a site with 3 entries and 3 engines
    When 9 callers send prompts of 500 tokens
    And 0.4 seconds pass
    And entry 1 is frozen for 3 seconds
    Then every answer is whole

  Scenario: Connections to an engine go silent
    Given a site with 2 entries and 2 engines
    And a relay before engine 1
    When 8 callers send prompts of 500 tokens
    And 0.4 seconds pass
    And connections to engine 1 go silent
    Then every answer is whole
    And within 10 seconds no engine holds memory

  Scenario: An entry drains while it answers
    Given a site with 3 entries and 3 engines
    When 9 callers send prompts of 500 tokens
    And 0.4 seconds pass
    And entry 1 is told to stop
    Then every answer is whole
    And entry 1 ends in order within 20 seconds
    And no stream was started more than 1 times

  Scenario: What must not run twice runs once, over lost answers and silence
    Given a site with 3 entries and 2 engines
    And a relay before engine 1
    When table has the faults {"lose_answers": 3}
    And 6 callers send prompts not to be run twice
    And 0.5 seconds pass
    And connections to engine 1 go silent
    And entry 2 is killed
    Then every answer is whole or a clear failure
    And no stream was started more than 1 times
