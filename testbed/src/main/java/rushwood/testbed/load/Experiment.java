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
 * An experiment: hosts, clients, and the events that affect hosts, discovery or the router while
 * the clients arrive. Read from a JSON file with the schema {@code experiment.schema.json}.
 *
 * @param seed the seed of all random numbers of hosts, clients and routers
 * @param durationSeconds the maximum duration of the experiment
 * @param maxSockets the maximum number of sockets of a router
 * @param routerCount the number of routers; an experiment on sockets always runs one
 * @param settings router settings; each top-level value replaces the one of the same name in {@link
 *     RouterSettings#forCluster}
 * @param events the events, in order of their times
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
  private static final String SCHEMA_RESOURCE = "/experiment.schema.json";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Replaces optional values that are missing by their defaults, and sorts the events by time. */
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

  /** Converts seconds to nanoseconds, rounded to the nearest integer. */
  static long secondsToNanos(double seconds) {
    return Math.round(seconds * 1e9);
  }

  /** Returns the maximum duration of the experiment, in nanoseconds. */
  public long durationNanos() {
    return secondsToNanos(durationSeconds);
  }

  /** Returns a copy of this experiment with the given number of routers. */
  public Experiment withRouters(int count) {
    return new Experiment(
        name, seed, durationSeconds, maxSockets, count, settings, hosts, events, populations);
  }

  /**
   * Returns a copy with {@code factor} times as many clients and with hosts of {@code factor} times
   * the capacity.
   */
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

  /**
   * Creates the model of the host at the given index, with a seed that is derived from the
   * experiment's seed and the index.
   */
  public HostModel newHostModel(int hostIndex) {
    HostSpec host = hosts.get(hostIndex);
    HostModel model = new HostModel(host.parameters(), host.primary(), seed * 31 + hostIndex);
    model.setCrashOnOverload(host.crashesOnOverload());
    return model;
  }

  /**
   * Validates a document against a JSON schema.
   *
   * @return a message for each violation, sorted; empty if the document is valid
   */
  public static List<String> violations(JsonNode document, InputStream schemaStream) {
    JsonSchema schema =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schemaStream);
    return schema.validate(document).stream().map(ValidationMessage::getMessage).sorted().toList();
  }

  private static List<String> violations(JsonNode document) {
    try (InputStream schema = Experiment.class.getResourceAsStream(SCHEMA_RESOURCE)) {
      return violations(document, schema);
    } catch (IOException e) {
      throw new UncheckedIOException(e); // not expected of a resource of this jar
    }
  }

  /**
   * Reads and validates an experiment file.
   *
   * @throws InvalidExperimentException if the file is not a valid experiment
   * @throws IOException if the file cannot be read
   */
  public static Experiment read(Path file) throws IOException {
    return parse(Files.readString(file));
  }

  /**
   * Parses and validates the text of an experiment file.
   *
   * @throws InvalidExperimentException if the text is not a valid experiment
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
      throw new InvalidExperimentException("not valid JSON: " + e.getOriginalMessage(), e);
    }
  }
}
