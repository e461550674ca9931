package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DescriptorBudgetTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  @Test
  void maxClientsFollowsBackendPeak() {
    DescriptorBudget budget = new DescriptorBudget(100);
    assertEquals(87, budget.maxClientConnections(0));
    assertEquals(40, budget.maxBackendConnections());
    budget.setOpenClientConnections(85);
    assertEquals(15, budget.maxBackendConnections());
    budget.setOpenBackendConnections(15, 1000 * NANOS_PER_MILLI);
    assertEquals(
        81,
        budget.maxClientConnections(1000 * NANOS_PER_MILLI),
        "backend connections get a quarter more than their peak");
    budget.setOpenBackendConnections(2, 2000 * NANOS_PER_MILLI);
    assertEquals(82, budget.maxClientConnections(2000 * NANOS_PER_MILLI));
    assertEquals(87, budget.maxClientConnections(60_000 * NANOS_PER_MILLI));
    budget.setOpenBackendConnections(60, 61_000 * NANOS_PER_MILLI);
    assertEquals(
        60,
        budget.maxClientConnections(61_000 * NANOS_PER_MILLI),
        "client connections keep three fifths");
    assertEquals(15, budget.maxBackendConnections());
  }
}
