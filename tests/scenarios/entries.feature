Feature: Answers to callers of a site of entries and engines

  Scenario: Answers through every entry are complete
    Given a site with 3 entries and 4 engines
    When 12 callers send prompts of 500 tokens
    Then every answer is complete
    And within 5 seconds all engine memory is released

  Scenario: An engine dies while it answers
    Given a site with 2 entries and 3 engines
    When 12 callers send prompts of 500 tokens
    And engine 2 has begun an answer
    And 0.2 seconds pass
    And engine 2 is killed
    Then every answer is complete
    And some prompts took a second attempt
    And within 5 seconds all engine memory is released

  Scenario: An entry is suspended while it answers
    Given a site with 3 entries and 3 engines
    When 9 callers send prompts of 500 tokens
    And 0.4 seconds pass
    And entry 1 is suspended for 3 seconds
    Then every answer is complete

  Scenario: Connections to an engine go silent
    Given a site with 2 entries and 2 engines
    And a relay before engine 1
    When 8 callers send prompts of 500 tokens
    And 0.4 seconds pass
    And connections to engine 1 go silent
    Then every answer is complete
    And within 10 seconds all engine memory is released

  Scenario: A draining entry finishes its answers
    Given a site with 3 entries and 3 engines
    When 9 callers send prompts of 500 tokens
    And 0.4 seconds pass
    And entry 1 is sent SIGTERM
    Then every answer is complete
    And entry 1 exits with status 0 within 20 seconds
    And no stream was started more than 1 times

  Scenario: Non-idempotent prompts run at most once despite lost replies and failures
    Given a site with 3 entries and 2 engines
    And a relay before engine 1
    When table has the faults {"lose_answers": 3}
    And 6 callers send non-idempotent prompts
    And 0.5 seconds pass
    And connections to engine 1 go silent
    And entry 2 is killed
    Then every caller gets a complete answer or a failure
    And no stream was started more than 1 times
