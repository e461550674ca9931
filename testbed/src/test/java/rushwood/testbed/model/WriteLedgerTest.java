package rushwood.testbed.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class WriteLedgerTest {
  private final WriteLedger ledger = new WriteLedger();

  private void assertCounts(long duplicatedTries, long duplicatedWrites, long falseSuccesses) {
    assertEquals(duplicatedTries, ledger.duplicatedTries());
    assertEquals(duplicatedWrites, ledger.duplicatedWrites());
    assertEquals(falseSuccesses, ledger.falseSuccesses());
  }

  @Test
  void writeThatRanOnceIsNotADuplicate() {
    ledger.recordExecution(1, "1-1");
    ledger.recordAnswer(1, true);
    ledger.recordAnswer(2, false);
    assertCounts(0, 0, 0);
  }

  @Test
  void writeOfWhichTwoTriesRanIsDuplicated() {
    ledger.recordExecution(1, "1-1");
    ledger.recordExecution(1, "1-2");
    assertCounts(0, 1, 0);
  }

  @Test
  void tryThatRanTwiceIsADuplicatedTryAndWrite() {
    ledger.recordExecution(1, "1-1");
    ledger.recordExecution(1, "1-1");
    assertCounts(1, 1, 0);
  }

  @Test
  void confirmedWriteThatNeverRanIsAFalseSuccess() {
    ledger.recordAnswer(1, true);
    assertCounts(0, 0, 1);
  }
}
