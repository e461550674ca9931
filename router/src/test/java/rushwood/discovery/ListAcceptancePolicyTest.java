package rushwood.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ListAcceptancePolicyTest {
  private final ListAcceptancePolicy versions = new ListAcceptancePolicy(10);

  private boolean acceptComplete(long version) {
    return versions.accept(true, OptionalLong.of(version), true);
  }

  private boolean acceptChange(long version) {
    return versions.accept(false, OptionalLong.of(version), true);
  }

  @Test
  void versionCountsOnceACompleteListOfTheAgentHasCome() {
    assertTrue(acceptChange(11));
    assertEquals(OptionalLong.empty(), versions.currentAgentVersion());
    assertTrue(versions.isChange(OptionalLong.of(11)));
    assertTrue(acceptComplete(11));
    assertEquals(OptionalLong.of(11), versions.currentAgentVersion());
    assertFalse(versions.isChange(OptionalLong.of(11)));
    assertTrue(versions.isChange(OptionalLong.of(12)));
    assertTrue(versions.isChange(OptionalLong.empty()));
  }

  @Test
  void olderVersionIsAcceptedFromTheThirdCompleteListInARow() {
    assertFalse(acceptComplete(9));
    assertFalse(acceptChange(9));
    assertFalse(acceptComplete(8));
    assertTrue(acceptComplete(9));
    assertEquals(OptionalLong.of(9), versions.currentAgentVersion());
  }

  @Test
  void acceptedCompleteListEndsTheRowOfOlderOnes() {
    assertFalse(acceptComplete(9));
    assertFalse(acceptComplete(9));
    assertTrue(acceptComplete(10));
    assertFalse(acceptComplete(9));
  }

  @Test
  void versionsOfAnotherAgentDoNotCompare() {
    assertTrue(acceptComplete(10));
    versions.agentChanged();
    assertEquals(OptionalLong.empty(), versions.currentAgentVersion());
    assertFalse(versions.accept(true, OptionalLong.of(3), false), "of the former agent");
    assertFalse(acceptChange(3), "not a complete list");
    assertTrue(acceptComplete(3));
    assertFalse(acceptComplete(2), "the first list of the new agent has come");
  }

  @Test
  void listWithoutAVersionIsAccepted() {
    assertTrue(versions.accept(true, OptionalLong.empty(), true));
    assertEquals(OptionalLong.of(10), versions.currentAgentVersion());
  }
}
