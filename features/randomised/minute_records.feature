Feature: Records of several hosts are merged exactly

  Scenario: Merging does not depend on order or grouping
    # Guards against sums that depend on the order in which hosts are read.
    Then merging random minute records is associative and commutative

  Scenario: Merged records equal those of one recorder for all requests
    # Guards against rounding or loss when histograms pass through their text form.
    Then splitting random requests over hosts and merging gives one recorder's counts

  Scenario: Minute records are unchanged by JSON encoding and decoding
    # Guards against fields that are lost between a host and the report.
    Then random minute records are unchanged by encoding and decoding
