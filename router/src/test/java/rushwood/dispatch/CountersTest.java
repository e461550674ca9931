package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rushwood.api.AttemptOutcome;

class CountersTest {
  private static final Path ON_CALL_PAGE = Path.of("../docs/on-call.md");

  private final Counters counters = new Counters();

  @Test
  void violatedInvariantThrowsWithAssertionsEnabled() {
    assertThrows(AssertionError.class, () -> counters.checkInvariant(false, "on purpose"));
    assertTrue(counters.checkInvariant(true, ""));
  }

  @ParameterizedTest
  @EnumSource
  void eachOutcomeHasCounterOfSameName(AttemptOutcome outcome) {
    assertEquals("ATTEMPTS_" + outcome, Counter.forAttemptOutcome(outcome).name());
  }

  @Test
  void countersAreListedInOrderWithRegisteredValuesLast() {
    counters.increment(Counter.CLIENTS_ACCEPTED);
    counters.register("other", () -> 7);
    String listed = counters.toString();
    assertTrue(listed.startsWith("clients_accepted=1 clients_refused=0 "), listed);
    assertTrue(listed.endsWith(" exceptions_caught=0 other=7"), listed);
  }

  @Test
  void onCallPageDescribesEachCounter() throws IOException {
    String page = Files.readString(ON_CALL_PAGE);
    counters.forEach((name, value) -> assertTrue(page.contains("\n| " + name + " | "), name));
  }
}
