@retry-budget
Feature: Retries are limited by a budget

  Scenario: A fleet that refuses everything gets only slightly more attempts than requests
    Then all attempts stay within requests, the retry fraction and the burst

  Scenario: A retry is planned only if it can finish before the deadline
    Then each planned retry fits into the remaining time

  Scenario: A request that is not retried reports the proven state of its run
    Then a refused retry never turns an unknown outcome into not run
