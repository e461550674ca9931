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

  private final ListAcceptancePolicy acceptancePolicy = new ListAcceptancePolicy(10);

  private static EndpointList list(boolean complete, OptionalLong version, String... problems) {
    return new EndpointList(
        version, complete, false, CHECKSUM, List.of(), List.of(), List.of(problems));
  }

  private ListDecision decideOnComplete(long version) {
    return acceptancePolicy.decide(list(true, OptionalLong.of(version)), true);
  }

  private ListDecision decideOnUpdate(long version) {
    return acceptancePolicy.decide(list(false, OptionalLong.of(version)), true);
  }

  @Test
  void versionIsKnownAfterCompleteListOfCurrentAgent() {
    assertEquals(APPLIED, decideOnUpdate(11));
    assertEquals(OptionalLong.empty(), acceptancePolicy.currentAgentVersion());
    assertTrue(acceptancePolicy.isDifferentVersion(OptionalLong.of(11)));
    assertEquals(APPLIED, decideOnComplete(11));
    assertEquals(OptionalLong.of(11), acceptancePolicy.currentAgentVersion());
    assertFalse(acceptancePolicy.isDifferentVersion(OptionalLong.of(11)));
    assertTrue(acceptancePolicy.isDifferentVersion(OptionalLong.of(12)));
    assertTrue(acceptancePolicy.isDifferentVersion(OptionalLong.empty()));
  }

  @Test
  void thirdConsecutiveCompleteListWithOlderVersionIsApplied() {
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(9));
    assertEquals(IGNORED_OLDER_VERSION, decideOnUpdate(9));
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(8));
    assertEquals(APPLIED, decideOnComplete(9));
    assertEquals(OptionalLong.of(9), acceptancePolicy.currentAgentVersion());
  }

  @Test
  void appliedCompleteListResetsCountOfOlderLists() {
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(9));
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(9));
    assertEquals(APPLIED, decideOnComplete(10));
    assertEquals(IGNORED_OLDER_VERSION, decideOnComplete(9));
  }

  @Test
  void versionsOfDifferentAgentsAreNotCompared() {
    assertEquals(APPLIED, decideOnComplete(10));
    acceptancePolicy.agentChanged();
    assertEquals(OptionalLong.empty(), acceptancePolicy.currentAgentVersion());
    assertEquals(
        IGNORED_OLDER_VERSION,
        acceptancePolicy.decide(list(true, OptionalLong.of(3)), false),
        "list of the previous agent");
    assertEquals(IGNORED_OLDER_VERSION, decideOnUpdate(3), "list is not complete");
    assertEquals(APPLIED, decideOnComplete(3));
    assertEquals(
        IGNORED_OLDER_VERSION,
        decideOnComplete(2),
        "the new agent has already sent a complete list");
  }

  @Test
  void listWithoutVersionIsApplied() {
    assertEquals(APPLIED, acceptancePolicy.decide(list(true, OptionalLong.empty()), true));
    assertEquals(OptionalLong.of(10), acceptancePolicy.currentAgentVersion());
  }

  /**
   * A failed request, an ignored list or a list with problems invalidates the cache; an unchanged
   * list makes it valid again.
   */
  @Test
  void cacheIsInvalidUntilListIsReceivedInFull() {
    assertEquals(APPLIED, decideOnComplete(10));
    assertEquals(OptionalLong.of(10), acceptancePolicy.cachedVersion());
    assertEquals(CHECKSUM, acceptancePolicy.cachedChecksum());
    acceptancePolicy.requestFailed();
    assertEquals(OptionalLong.empty(), acceptancePolicy.cachedVersion());
    assertEquals(UNCHANGED, acceptancePolicy.decide(EndpointList.unchanged(10, CHECKSUM), true));
    assertEquals(OptionalLong.of(10), acceptancePolicy.cachedVersion());
    assertEquals(IGNORED_OLDER_VERSION, decideOnUpdate(9));
    assertEquals(OptionalLong.empty(), acceptancePolicy.cachedVersion());
    assertEquals(
        APPLIED, acceptancePolicy.decide(list(false, OptionalLong.of(10), "id is missing"), true));
    assertEquals(OptionalLong.empty(), acceptancePolicy.cachedVersion());
  }
}
