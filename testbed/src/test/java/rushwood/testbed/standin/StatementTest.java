package rushwood.testbed.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushwood.testbed.model.TestbedRequestClass;

class StatementTest {
  @Test
  void parseReversesFormat() {
    Statement write =
        Statement.parse(
            Statement.format(TestbedRequestClass.NON_IDEMPOTENT_WRITE, "k7", "7-1", 300, 2));
    assertTrue(write.isWrite());
    assertEquals("k7", write.key());
    assertEquals("7-1", write.id());
    assertEquals("pay", write.requestClassName());
    assertEquals("300", write.commentValue("d"));
    assertEquals("2", write.commentValue("cluster"));
    assertEquals("", write.commentValue("missing"));
    Statement read =
        Statement.parse(Statement.format(TestbedRequestClass.EVENTUAL_READ, "k8", "8-1", 1, 0));
    assertFalse(read.isWrite());
    assertEquals("k8", read.key());
  }

  /** These are the forms that the router's parser accepts. */
  @Test
  void formatsReadsAndWrites() {
    assertEquals(
        "SELECT val FROM state WHERE uid = 'k8' /* id=8-1,c=any,t=club,d=1,cluster=0 */",
        Statement.format(TestbedRequestClass.EVENTUAL_READ, "k8", "8-1", 1, 0));
    assertEquals(
        "INSERT INTO state (uid, val) VALUES ('k7', '\\x01') RETURNING val"
            + " /* id=7-1,c=pay,t=club,d=300,cluster=2 */",
        Statement.format(TestbedRequestClass.NON_IDEMPOTENT_WRITE, "k7", "7-1", 300, 2));
  }
}
