package rushwood.testbed.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushwood.testbed.model.TestbedRequestClass;

class StatementTest {
  @Test
  void whatIsFormattedIsParsedBack() {
    Statement write =
        Statement.parse(
            Statement.format(TestbedRequestClass.NON_IDEMPOTENT_WRITE, "k7", "7-1", 300, 2));
    assertTrue(write.isWrite());
    assertEquals("k7", write.key());
    assertEquals("7-1", write.commentValue("id"));
    assertEquals("pay", write.commentValue("c"));
    assertEquals("300", write.commentValue("d"));
    assertEquals("2", write.commentValue("cluster"));
    assertEquals("", write.commentValue("nothing"));
    Statement read =
        Statement.parse(Statement.format(TestbedRequestClass.EVENTUAL_READ, "k8", "8-1", 1, 0));
    assertFalse(read.isWrite());
    assertEquals("k8", read.key());
  }
}
