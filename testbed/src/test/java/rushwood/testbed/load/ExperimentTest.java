package rushwood.testbed.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushwood.testbed.model.RetryBehavior;
import rushwood.testbed.model.TestbedRequestClass;

class ExperimentTest {
  private static final String CLIENTS =
      "\"clients\":[{\"count\":1,\"product\":\"pay\",\"over\":1,\"tries\":1,"
          + "\"manners\":\"polite\",\"outer\":1}]";

  @Test
  void rejectsInvalidFilesWithReason() {
    String beforeDuration = "{\"name\":\"a\",\"seed\":1,\"lasts\":";
    String afterDuration = ",\"hosts\":[{\"id\":\"a\",\"rate\":1}]," + CLIENTS + "}";
    for (Map.Entry<String, String> invalid :
        Map.of("{}", "required", beforeDuration + 0 + afterDuration, "lasts", "[", "not valid JSON")
            .entrySet()) {
      InvalidExperimentException rejected =
          assertThrows(InvalidExperimentException.class, () -> Experiment.parse(invalid.getKey()));
      assertTrue(rejected.getMessage().contains(invalid.getValue()), rejected.getMessage());
      assertEquals(1, rejected.getMessage().lines().count());
    }
  }

  @Test
  void readsEveryKey() throws IOException {
    Experiment experiment =
        Experiment.parse(
            """
            {"name": "a", "seed": 2, "lasts": 3.5, "sockets": 64, "routers": 4,
             "settings": {"resolution": 0.5},
             "hosts": [{"id": "h", "group": 1, "primary": true, "rate": 5, "slots": 6, "queue": 7,
               "cold_from": 0.25, "cold": 8, "tip_multiple": 9, "fall": 10, "lag": 11, "tips": true}],
             "events": [{"at": 2, "what": "die", "host": "h"}, {"at": 1, "what": "silence"}],
             "clients": [{"count": 10, "product": "mark", "group": 1, "from": 1, "over": 2,
               "tries": 3, "manners": "one_clock", "outer": 4, "stays": true}]}
            """);
    assertEquals("a", experiment.name());
    assertEquals(2, experiment.seed());
    assertEquals(3_500_000_000L, experiment.durationNanos());
    assertEquals(64, experiment.maxSockets());
    assertEquals(4, experiment.routerCount());
    assertEquals(0.5, experiment.settings().get("resolution").asDouble());
    assertEquals(
        List.of(new HostSpec("h", 1, true, 5, 6, 7, 0.25, 8.0, 9.0, 10.0, 11, true)),
        experiment.hosts());
    assertEquals(
        List.of(
            new ScheduledEvent(1, ScheduledEvent.Type.SILENCE_DISCOVERY, null),
            new ScheduledEvent(2, ScheduledEvent.Type.CRASH, "h")),
        experiment.events());
    assertEquals(
        List.of(
            new PopulationSpec(
                10,
                TestbedRequestClass.KEYED_WRITE,
                1,
                1,
                2,
                3,
                RetryBehavior.SYNCHRONIZED_BACKOFF,
                4,
                true)),
        experiment.populations());
  }

  @Test
  void readsEveryEventTypeAndRetryBehavior() throws IOException {
    List<String> events =
        List.of("die", "start", "promote", "demote", "hang", "wake", "silence", "list", "term");
    for (int i = 0; i < events.size(); i++) {
      String event = "\"events\":[{\"at\":0,\"what\":\"" + events.get(i) + "\"}]";
      assertEquals(ScheduledEvent.Type.values()[i], parse(event, "polite").events().get(0).type());
    }
    List<String> retryBehaviors = List.of("polite", "one_clock", "rude");
    for (int i = 0; i < retryBehaviors.size(); i++) {
      Experiment experiment = parse("\"events\":[]", retryBehaviors.get(i));
      assertEquals(RetryBehavior.values()[i], experiment.populations().get(0).retryBehavior());
    }
  }

  @Test
  void fillsInDefaults() throws IOException {
    Experiment experiment = parse("\"events\":[]", "polite");
    assertEquals(8000, experiment.maxSockets());
    assertEquals(1, experiment.routerCount());
    assertTrue(experiment.settings().isEmpty());
    assertEquals(
        List.of(new HostSpec("a", 0, false, 1, 8, 32, 0.15, 14.0, 4.0, 1.0, 0, false)),
        experiment.hosts());
  }

  private static Experiment parse(String events, String retryBehavior) throws IOException {
    return Experiment.parse(
        "{\"name\":\"a\",\"seed\":1,\"lasts\":1,\"hosts\":[{\"id\":\"a\",\"rate\":1}],"
            + events
            + ","
            + CLIENTS.replace("polite", retryBehavior)
            + "}");
  }
}
