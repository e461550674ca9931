package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ZoneId;

class HostTableTest {
  private static final GroupId GROUP = new GroupId(0);
  private static final int MANY = 40_000;

  private final HostTable table = new HostTable();

  private static List<Endpoint> endpoints(int first, int last) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = last; i >= first; i--) {
      endpoints.add(
          new Endpoint(
              new HostId("h" + i), GROUP, new ZoneId("z"), 1, 0, false, Endpoint.State.READY));
    }
    return endpoints;
  }

  private void add(List<Endpoint> endpoints) {
    for (Endpoint endpoint : endpoints) {
      table.group(GROUP).add(table.getOrAdd(endpoint, 1));
    }
  }

  private List<String> memberIds() {
    return table.group(GROUP).members().stream().map(host -> host.id.value()).toList();
  }

  @Test
  void membersAreInOrderOfIdWhateverTheOrderOfTheList() {
    add(endpoints(10, 30));
    add(endpoints(0, 9));
    assertEquals(31, memberIds().size());
    assertEquals(memberIds().stream().sorted(Comparator.naturalOrder()).toList(), memberIds());
  }

  @Test
  void unlistedHostsLeaveTheirGroup() {
    add(endpoints(0, 9));
    table.removeUnlisted(endpoints(8, 12));
    assertEquals(List.of("h8", "h9"), memberIds());
  }

  /** Guards against work that grows with the square of the list and stalls the event loop. */
  @Test
  void longListsAreAppliedInAMoment() {
    List<Endpoint> endpoints = endpoints(1, MANY);
    assertTimeout(
        Duration.ofSeconds(2),
        () -> {
          add(endpoints);
          table.removeUnlisted(endpoints);
        });
    assertEquals(MANY, memberIds().size());
  }
}
