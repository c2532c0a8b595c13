Feature: Stand-in engines and relays without entries

  Scenario: A stream is resumed over a new connection when the old one is silent
    Given a site with 0 entries and 1 engines
    And a relay before engine 1
    When 3 callers read from engine 1 directly
    And 0.3 seconds pass
    And connections to engine 1 go silent
    Then every answer is complete
    And some streams were resumed
    And no stream was started more than 1 times
    And within 5 seconds all engine memory is released

  Scenario: Bytes held back by a relay arrive when its faults are cleared
    Given a site with 0 entries and 1 engines
    And a relay before engine 1
    When 2 callers read from engine 1 directly
    And 0.2 seconds pass
    And bytes from engine 1 are held back
    And 1 seconds pass
    And the faults of the relay before engine 1 are cleared
    Then every answer is complete
    And no stream was started more than 1 times

  Scenario: A suspended engine continues its streams
    Given a site with 0 entries and 1 engines
    When 2 callers read from engine 1 directly
    And 0.2 seconds pass
    And engine 1 is suspended for 1 seconds
    Then every answer is complete
    And some streams were resumed
    And no stream was started more than 1 times
