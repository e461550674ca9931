package rushwood.testbed.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.model.RetryBehavior;

/**
 * An experiment as its file has it; times in seconds. What may be left out has the value that its
 * method gives.
 */
public record Experiment(
    String name,
    long seed,
    double lasts,
    Integer sockets,
    Integer routers,
    JsonNode settings,
    List<HostSpec> hosts,
    List<ScheduledEvent> events,
    List<PopulationSpec> clients) {
  /** A host; what it is made of when warm, and how it starts. */
  public record HostSpec(
      String id,
      int group,
      boolean primary,
      double rate,
      Integer slots,
      Integer queue,
      Double coldFrom,
      Double cold,
      Double tipMultiple,
      Double fall,
      double lag,
      boolean tips) {
    public HostModel.Parameters modelParameters() {
      return new HostModel.Parameters(
          rate,
          orDefault(slots, 8),
          orDefault(queue, 32),
          orDefault(coldFrom, 0.15),
          nanos(orDefault(cold, 14.0)),
          orDefault(tipMultiple, 4.0),
          nanos(orDefault(fall, 1.0)),
          nanos(lag));
    }
  }

  /** Something that happens to a host, or to the list or the router where it names none. */
  public record ScheduledEvent(double at, String what, String host) {}

  /** Clients of one kind, one access each, that come evenly over a time. */
  public record PopulationSpec(
      int count,
      String product,
      int group,
      double from,
      double over,
      int tries,
      String manners,
      double outer,
      boolean stays) {
    public RetryBehavior retryBehavior() {
      return RetryBehavior.valueOf(manners.toUpperCase(Locale.ROOT));
    }

    public boolean isWrite() {
      return product.equals("pay") || product.equals("mark");
    }
  }

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();

  private static <T> T orDefault(T value, T otherwise) {
    return value != null ? value : otherwise;
  }

  static long nanos(double seconds) {
    return Math.round(seconds * 1e9);
  }

  public int maxSockets() {
    return orDefault(sockets, 8000);
  }

  public int routerCount() {
    return orDefault(routers, 1);
  }

  /** The same with that many routers. */
  public Experiment withRouters(int number) {
    return new Experiment(name, seed, lasts, sockets, number, settings, hosts, events, clients);
  }

  /**
   * The same with so many times the clients, and hosts that much faster with that many more slots.
   */
  public Experiment scaledBy(int factor) {
    List<HostSpec> larger =
        hosts.stream()
            .map(
                each ->
                    new HostSpec(
                        each.id(),
                        each.group(),
                        each.primary(),
                        each.rate() * factor,
                        orDefault(each.slots(), 8) * factor,
                        orDefault(each.queue(), 32) * factor,
                        each.coldFrom(),
                        each.cold(),
                        each.tipMultiple(),
                        each.fall(),
                        each.lag(),
                        each.tips()))
            .toList();
    List<PopulationSpec> more =
        clients.stream()
            .map(
                each ->
                    new PopulationSpec(
                        each.count() * factor,
                        each.product(),
                        each.group(),
                        each.from(),
                        each.over(),
                        each.tries(),
                        each.manners(),
                        each.outer(),
                        each.stays()))
            .toList();
    return new Experiment(name, seed, lasts, sockets, routers, settings, larger, events, more);
  }

  public List<ScheduledEvent> eventsInOrder() {
    return orDefault(events, List.<ScheduledEvent>of()).stream()
        .sorted(Comparator.comparingDouble(ScheduledEvent::at))
        .toList();
  }

  /**
   * What is wrong with a document by a schema of this class path, one line each, in order; none if
   * it fits.
   */
  public static List<String> violations(JsonNode document, InputStream schema) {
    JsonSchema read =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schema);
    Set<ValidationMessage> messages = read.validate(document);
    return messages.stream().map(ValidationMessage::getMessage).sorted().toList();
  }

  /**
   * Reads and checks a file; an exception's message is one line that names the field and the
   * reason.
   */
  public static Experiment read(Path file) throws IOException {
    return read(Files.readString(file));
  }

  public static Experiment read(String text) throws IOException {
    try {
      JsonNode document = MAPPER.readTree(text);
      try (InputStream schema = Experiment.class.getResourceAsStream("/experiment.schema.json")) {
        List<String> faults = violations(document, schema);
        if (!faults.isEmpty()) {
          throw new IOException(faults.get(0));
        }
      }
      return MAPPER.treeToValue(document, Experiment.class);
    } catch (JsonProcessingException e) {
      throw new IOException("no JSON: " + e.getOriginalMessage(), e);
    }
  }
}
