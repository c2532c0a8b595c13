Feature: What the platform's store and its servers tell the entries

  Scenario: A server says that it leaves
    Given a site with 2 entries and 2 desks
    When desk 1 says in its answers that it leaves
    And 20 calls are sent with key-0
    Then each call is answered with status 200
    And desk 1 ran at most 2 calls

  Scenario: A server asks for a time without requests
    Given a site with 2 entries and 2 desks
    When desk 1 turns all requests away for 3 seconds
    And 20 calls are sent with key-0
    Then each call is answered with status 200
    And desk 1 ran at most 0 calls
    And desk 1 turned at most 4 calls away
    When 3 seconds pass
    And 40 calls are sent with key-0
    Then desk 1 ran at least 1 call

  Scenario: A limited rate holds when all entries start again at once
    Given a site with 2 entries and 2 desks
    When desk 1 limits its rate to 0.4 requests a second
    And 20 calls are sent with key-0
    And 1 second passes
    And all entries are killed and start again
    And 40 calls are sent with key-0
    Then each call is answered with status 200
    And desk 1 ran at most 7 calls in any 4 seconds

  Scenario: The store comes back from a copy in which a revoked key is valid
    Given a site with 2 entries and 2 desks
    When the store is copied
    And key-0 is revoked
    And 1 second passes
    And 10 calls are sent with key-0
    Then no call ran
    When the store comes back from its copy
    And 10 calls are sent with key-0
    Then no call ran
    When 2 seconds pass
    And 10 calls are sent with key-0
    Then no call ran
    When the operator writes its rows again
    And 2 seconds pass
    And 10 calls are sent with key-1
    Then each call is answered with status 200

  Scenario: An engine falls silent for a moment while it answers
    Given a site with 1 entry and 2 engines
    When 6 prompts are sent
    And 0.3 seconds pass
    And engine 1 falls silent for 1.2 seconds
    Then each prompt is answered whole
