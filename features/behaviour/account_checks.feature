Feature: Client accounts of a configuration are checked, and keys find them

  Scenario Outline: A configuration with <fault> is refused without its keys in the text
    # Guards against an account that no caller can use, a key that identifies two
    # accounts, numbers that the quota cannot compute with, and keys in error texts.
    When client accounts with <fault> are checked
    Then they are refused with "<text>" and without any key

    Examples: Names and keys
      | fault                          | text                                      |
      | a key of two accounts          | account b: the key DIGEST is also a key of account a |
      | a key twice in one account     | account a: the key DIGEST is listed twice |
      | an account without a name      | accounts[1]: has no name                  |
      | a name with a line break       | accounts[1]: the name must be valid       |
      | a name with a space at its end | accounts[1]: the name must be valid       |
      | a name beyond ASCII            | accounts[1]: the name must be valid       |
      | two accounts of one name       | account a: is defined twice               |
      | an empty key                   | account b: has an empty key               |
      | a key with a space             | account b: the key DIGEST must be visible |
      | a key with a control character | account b: the key DIGEST must be visible |
      | a key beyond ASCII             | account b: the key DIGEST must be visible |
      | a key of 513 characters        | account b: the key DIGEST must have at most 512 |
      | a key of 8192 characters       | account b: the key DIGEST must have at most 512 |

    Examples: Numbers and sizes
      | fault                          | text                                      |
      | a negative rate                | account b: the rate must be from 0        |
      | a rate of 1e308                | account b: the rate must be from 0        |
      | a rate that is not a number    | document: JSON is malformed               |
      | an infinite rate               | document: JSON is malformed               |
      | a rate of 1e400                | document: Number out of range             |
      | a negative burst               | account b: the burst must be from 0       |
      | a burst of 1e308               | account b: the burst must be from 0       |
      | a burst without a rate         | account b: a burst needs a rate           |
      | a priority of 2 to the 31      | account b: the priority must be from      |
      | 20001 accounts                 | accounts: there must be at most 20000     |
      | 100001 keys                    | accounts: there must be at most 100000 keys |
      | keys that are numbers          | document: Expected `str`, got `int`       |
      | a name of 513 characters       | the name must have at most 512 characters |

  Scenario Outline: A number that <number> is refused in a configuration that was not parsed
    # Guards against a range check that NaN or infinity passes: a format of a platform
    # may read numbers that JSON does not have.
    When the ranges of an account whose rate <number> are checked
    Then they are refused with "account a: the rate must be from 0" and without any key

    Examples:
      | number          |
      | is not a number |
      | is infinite     |

  Scenario Outline: An account with <content> is accepted
    # Guards against checks that are stricter than the interface says.
    When client accounts with <content> are checked
    Then they are accepted

    Examples:
      | content                        |
      | no keys                        |
      | a key of 512 characters        |
      | a key of all visible ASCII     |
      | a name with a space inside     |
      | a priority below 0             |
      | a rate of 0 and a burst of 0   |
      | 20000 accounts                 |
      | 100000 keys                    |

  Scenario Outline: <document> is known to have accounts or not, without being decoded
    # Guards against a replica that gives accounts to hosts which check no keys, or that
    # keeps a configuration without accounts from them.
    Then <document>: it <has> accounts, in the product's format and in the platform's

    Examples:
      | document                           | has           |
      | a document with an account         | has           |
      | a document with an empty list      | does not have |
      | a document without the field       | does not have |
      | a document that cannot be read     | has           |
      | a document with accounts as a number | has         |

  Scenario: The check of many accounts takes linear time
    # Guards against a check whose time grows with the square of the accounts, which
    # would stop a replica for minutes.
    When 10000 accounts with 50000 keys are checked, with comparisons counted
    Then texts were compared at most 120000 times

  Scenario: A printed account or configuration has no key
    # Guards against keys in the text of an unexpected error.
    Then an account with the key "s3cr3t" is printed without it, also in a configuration

  Scenario Outline: Authorization <headers> is <result>
    # Guards against a key that is found by a part of it, by another scheme, or by one of
    # two contradictory headers.
    Given the account "acme" with the key "k1"
    Then Authorization <headers> is <result>

    Examples:
      | headers                          | result    |
      | ["Bearer k1"]                    | known     |
      | ["bearer k1"]                    | known     |
      | ["BEARER   k1"]                  | known     |
      | []                               | missing   |
      | [""]                             | malformed |
      | ["Bearer"]                       | malformed |
      | ["Bearer "]                      | malformed |
      | ["k1"]                           | malformed |
      | ["Basic k1"]                     | malformed |
      | ["Bearerk1"]                     | malformed |
      | ["Bearer k1 k1"]                 | malformed |
      | ["Bearer\tk1"]                   | malformed |
      | ["Bearer k1", "Bearer k1"]       | malformed |
      | ["Bearer k1", "Basic eA=="]      | malformed |
      | ["Bearer k\u00e9"]               | malformed |
      | ["Bearer K1"]                    | unknown   |
      | ["Bearer k"]                     | unknown   |
      | ["Bearer k11"]                   | unknown   |
      | ["Bearer k1,Bearer"]             | unknown   |
