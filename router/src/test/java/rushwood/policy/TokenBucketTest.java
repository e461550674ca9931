package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
  private final TokenBucket bucket = new TokenBucket();

  @Test
  void refillsOverTimeUpToCapacity() {
    bucket.reset(0, 100);
    bucket.refill(0.5, 3, 104);
    assertTrue(bucket.has(2));
    assertFalse(bucket.has(2.1));
    bucket.refill(0.5, 3, 200);
    assertTrue(bucket.has(3));
    assertFalse(bucket.has(3.1));
    assertEquals(200, bucket.refilledAt());
  }

  @Test
  void negativeBalanceIsRepaidFirst() {
    bucket.add(1, 10);
    bucket.take(3);
    bucket.add(2, 10);
    assertFalse(bucket.has(1));
    bucket.add(1, 10);
    assertTrue(bucket.has(1));
  }
}
