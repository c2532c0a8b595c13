Feature: Engines and relays alone

  Scenario: A stream goes on over a new connection when the old one is silent
    Given a site with 0 entries and 1 engines
    And a relay before engine 1
    When 3 callers read from engine 1 directly
    And 0.3 seconds pass
    And connections to engine 1 go silent
    Then every answer is whole
    And some streams were resumed
    And no stream was started more than 1 times
    And within 5 seconds no engine holds memory

  Scenario: Bytes that are held back arrive when the relay heals
    Given a site with 0 entries and 1 engines
    And a relay before engine 1
    When 2 callers read from engine 1 directly
    And 0.2 seconds pass
    And bytes from engine 1 are held back
    And 1 seconds pass
    And the relay before engine 1 heals
    Then every answer is whole
    And no stream was started more than 1 times

  Scenario: A frozen engine goes on when it is woken
    Given a site with 0 entries and 1 engines
    When 2 callers read from engine 1 directly
    And 0.2 seconds pass
    And engine 1 is frozen for 1 seconds
    Then every answer is whole
    And some streams were resumed
    And no stream was started more than 1 times
