package rushwood.testbed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import rushwood.testbed.model.HostModel;

/**
 * An experiment: hosts, clients, and what happens to the hosts while the clients come. Read from a
 * JSON file, whose keys are described by {@code experiment.schema.json}.
 *
 * @param durationSeconds when it ends at the latest
 * @param maxSockets the sockets that a router may use
 * @param settings settings of the router that differ from {@link RouterSettings}
 * @param events in order of their times
 */
public record Experiment(
    String name,
    long seed,
    @JsonProperty("lasts") double durationSeconds,
    @JsonProperty("sockets") Integer maxSockets,
    @JsonProperty("routers") Integer routerCount,
    JsonNode settings,
    List<HostSpec> hosts,
    List<ScheduledEvent> events,
    @JsonProperty("clients") List<PopulationSpec> populations) {
  private static final int DEFAULT_MAX_SOCKETS = 8000;
  private static final String SCHEMA = "/experiment.schema.json";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Fills in what the file may leave out. */
  public Experiment {
    maxSockets = maxSockets == null ? DEFAULT_MAX_SOCKETS : maxSockets;
    routerCount = routerCount == null ? 1 : routerCount;
    settings = settings == null ? JsonNodeFactory.instance.objectNode() : settings;
    events =
        events == null
            ? List.of()
            : events.stream()
                .sorted(Comparator.comparingDouble(ScheduledEvent::atSeconds))
                .toList();
  }

  /** Nanoseconds for seconds, rounded. */
  static long nanos(double seconds) {
    return Math.round(seconds * 1e9);
  }

  /** When it ends at the latest, in nanoseconds from its start. */
  public long durationNanos() {
    return nanos(durationSeconds);
  }

  /** The same with that many routers. */
  public Experiment withRouters(int count) {
    return new Experiment(
        name, seed, durationSeconds, maxSockets, count, settings, hosts, events, populations);
  }

  /** The same with so many times the clients, and hosts that bear so many times the load. */
  public Experiment scaledBy(int factor) {
    return new Experiment(
        name,
        seed,
        durationSeconds,
        maxSockets,
        routerCount,
        settings,
        hosts.stream().map(host -> host.scaledBy(factor)).toList(),
        events,
        populations.stream().map(population -> population.scaledBy(factor)).toList());
  }

  /** The model of the host at that index; its random numbers are the experiment's and its own. */
  public HostModel newHostModel(int hostIndex) {
    HostSpec host = hosts.get(hostIndex);
    HostModel model = new HostModel(host.parameters(), host.primary(), seed * 31 + hostIndex);
    model.crashOnOverload(host.crashesOnOverload());
    return model;
  }

  /** What a document violates of a JSON schema, a line each and sorted; empty if it is valid. */
  public static List<String> violations(JsonNode document, InputStream schemaStream) {
    JsonSchema schema =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schemaStream);
    return schema.validate(document).stream().map(ValidationMessage::getMessage).sorted().toList();
  }

  private static List<String> violations(JsonNode document) {
    try (InputStream schema = Experiment.class.getResourceAsStream(SCHEMA)) {
      return violations(document, schema);
    } catch (IOException e) {
      throw new UncheckedIOException(e); // a resource of this jar
    }
  }

  /**
   * Reads and checks a file.
   *
   * @throws InvalidExperimentException if it is no experiment
   * @throws IOException if it cannot be read
   */
  public static Experiment read(Path file) throws IOException {
    return parse(Files.readString(file));
  }

  /**
   * Reads and checks a document.
   *
   * @throws InvalidExperimentException if it is no experiment
   */
  public static Experiment parse(String json) throws InvalidExperimentException {
    try {
      JsonNode document = MAPPER.readTree(json);
      List<String> violations = violations(document);
      if (!violations.isEmpty()) {
        throw new InvalidExperimentException(violations.get(0));
      }
      return MAPPER.treeToValue(document, Experiment.class);
    } catch (JsonProcessingException e) {
      throw new InvalidExperimentException("no JSON: " + e.getOriginalMessage(), e);
    }
  }
}
