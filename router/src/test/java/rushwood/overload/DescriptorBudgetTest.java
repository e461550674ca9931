package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DescriptorBudgetTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  @Test
  void maxClientsFollowsBackendPeak() {
    DescriptorBudget budget = new DescriptorBudget(100);
    assertEquals(87, budget.maxClients(0));
    assertEquals(40, budget.maxBackends());
    budget.setOpenClients(85);
    assertEquals(15, budget.maxBackends());
    budget.setOpenBackends(15, 1000 * NANOS_PER_MILLI);
    assertEquals(
        81, budget.maxClients(1000 * NANOS_PER_MILLI), "backends keep a quarter above their peak");
    budget.setOpenBackends(2, 2000 * NANOS_PER_MILLI);
    assertEquals(82, budget.maxClients(2000 * NANOS_PER_MILLI));
    assertEquals(87, budget.maxClients(60_000 * NANOS_PER_MILLI));
    budget.setOpenBackends(60, 61_000 * NANOS_PER_MILLI);
    assertEquals(60, budget.maxClients(61_000 * NANOS_PER_MILLI), "clients keep three fifths");
    assertEquals(15, budget.maxBackends());
  }
}
