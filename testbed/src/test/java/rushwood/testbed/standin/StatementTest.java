package rushwood.testbed.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StatementTest {
  @Test
  void whatIsFormattedIsParsedBack() {
    Statement write = Statement.parse(Statement.format(true, "k7", "7-1", "pay", 300, 2));
    assertTrue(write.isWrite());
    assertEquals("k7", write.key());
    assertEquals("7-1", write.commentValue("id"));
    assertEquals("pay", write.commentValue("c"));
    assertEquals("300", write.commentValue("d"));
    assertEquals("2", write.commentValue("cluster"));
    assertEquals("", write.commentValue("nothing"));
    Statement read = Statement.parse(Statement.format(false, "k8", "8-1", "any", 1, 0));
    assertFalse(read.isWrite());
    assertEquals("k8", read.key());
  }
}
