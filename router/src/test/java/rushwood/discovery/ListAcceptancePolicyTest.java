package rushwood.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.discovery.ListDecision.APPLIED;
import static rushwood.discovery.ListDecision.IGNORED_OLDER_VERSION;
import static rushwood.discovery.ListDecision.UNCHANGED;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ListAcceptancePolicyTest {
  private static final long CHECKSUM = 5;

  private final ListAcceptancePolicy acceptance = new ListAcceptancePolicy(10);

  private static EndpointList list(boolean complete, OptionalLong version, String... problems) {
    return new EndpointList(
        version, complete, false, CHECKSUM, List.of(), List.of(), List.of(problems));
  }

  private ListDecision decideOnComplete(long version) {
    return acceptance.decide(list(true, OptionalLong.of(version)), true);
  }

  private ListDecision decideOnChange(long version) {
    return acceptance.decide(list(false, OptionalLong.of(version)), true);
  }

  @Test
  void versionCountsOnceACompleteListOfTheAgentHasCome() {
    assertEquals(APPLIED, decideOnChange(11));
    assertEquals(OptionalLong.empty(), acceptance.currentAgentVersion());
    assertTrue(acceptance.isChange(OptionalLong.of(11)));
    assertEquals(APPLIED, decideOnComplete(11));
    assertEquals(OptionalLong.of(11), acceptance.currentAgentVersion());
    assertFalse(acceptance.isChange(OptionalLong.of(11)));
    assertTrue(acceptance.isChange(OptionalLong.of(12)));
    assertTrue(acceptance.isChange(OptionalLong.empty()));
  }

  @Test
  void olderVersionIsAppliedFromTheThirdCompleteListInARow() {
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(9));
    assertEquals(IGNORED_OLDER_VERSION, decideOnChange(9));
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(8));
    assertEquals(APPLIED, decideOnComplete(9));
    assertEquals(OptionalLong.of(9), acceptance.currentAgentVersion());
  }

  @Test
  void appliedCompleteListEndsTheRowOfOlderOnes() {
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(9));
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(9));
    assertEquals(APPLIED, decideOnComplete(10));
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(9));
  }

  @Test
  void versionsOfAnotherAgentDoNotCompare() {
    assertEquals(APPLIED, decideOnComplete(10));
    acceptance.agentChanged();
    assertEquals(OptionalLong.empty(), acceptance.currentAgentVersion());
    assertEquals(
        IGNORED_OLDER_VERSION,
        acceptance.decide(list(true, OptionalLong.of(3)), false),
        "of the former agent");
    assertEquals(IGNORED_OLDER_VERSION, decideOnChange(3), "not a complete list");
    assertEquals(APPLIED, decideOnComplete(3));
    assertEquals(
        IGNORED_OLDER_VERSION, decideOnComplete(2), "the first list of the new agent has come");
  }

  @Test
  void listWithoutAVersionIsApplied() {
    assertEquals(APPLIED, acceptance.decide(list(true, OptionalLong.empty()), true));
    assertEquals(OptionalLong.of(10), acceptance.currentAgentVersion());
  }

  /** A list is cached until something casts doubt on it; an unchanged one restores that. */
  @Test
  void listIsCachedWhileItIsCertain() {
    assertEquals(APPLIED, decideOnComplete(10));
    assertEquals(OptionalLong.of(10), acceptance.cachedVersion());
    assertEquals(CHECKSUM, acceptance.cachedChecksum());
    acceptance.requestFailed();
    assertEquals(OptionalLong.empty(), acceptance.cachedVersion());
    assertEquals(UNCHANGED, acceptance.decide(EndpointList.unchanged(10, CHECKSUM), true));
    assertEquals(OptionalLong.of(10), acceptance.cachedVersion());
    assertEquals(IGNORED_OLDER_VERSION, decideOnChange(9));
    assertEquals(OptionalLong.empty(), acceptance.cachedVersion());
    assertEquals(
        APPLIED, acceptance.decide(list(false, OptionalLong.of(10), "id is missing"), true));
    assertEquals(OptionalLong.empty(), acceptance.cachedVersion());
  }
}
