package rushwood.lab.load;

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
import rushwood.lab.model.HostModel;
import rushwood.lab.model.Manners;

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
    List<Host> hosts,
    List<Event> events,
    List<Crowd> clients) {
  /** A host; what it is made of when warm, and how it starts. */
  public record Host(
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
    public HostModel.Kind kind() {
      return new HostModel.Kind(
          rate,
          or(slots, 8),
          or(queue, 32),
          or(coldFrom, 0.15),
          nanos(or(cold, 14.0)),
          or(tipMultiple, 4.0),
          nanos(or(fall, 1.0)),
          nanos(lag));
    }
  }

  /** Something that happens to a host, or to the list or the router where it names none. */
  public record Event(double at, String what, String host) {}

  /** Clients of one kind, one access each, that come evenly over a time. */
  public record Crowd(
      int count,
      String product,
      int group,
      double from,
      double over,
      int tries,
      String manners,
      double outer,
      boolean stays) {
    public Manners comesBack() {
      return Manners.valueOf(manners.toUpperCase(Locale.ROOT));
    }

    public boolean writes() {
      return product.equals("pay") || product.equals("mark");
    }
  }

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();

  private static <T> T or(T value, T otherwise) {
    return value != null ? value : otherwise;
  }

  static long nanos(double seconds) {
    return Math.round(seconds * 1e9);
  }

  public int mostSockets() {
    return or(sockets, 8000);
  }

  public int allRouters() {
    return or(routers, 1);
  }

  /** The same with that many routers. */
  public Experiment with(int number) {
    return new Experiment(name, seed, lasts, sockets, number, settings, hosts, events, clients);
  }

  /**
   * The same with so many times the clients, and hosts that much faster with that many more slots.
   */
  public Experiment times(int factor) {
    List<Host> larger =
        hosts.stream()
            .map(
                each ->
                    new Host(
                        each.id(),
                        each.group(),
                        each.primary(),
                        each.rate() * factor,
                        or(each.slots(), 8) * factor,
                        or(each.queue(), 32) * factor,
                        each.coldFrom(),
                        each.cold(),
                        each.tipMultiple(),
                        each.fall(),
                        each.lag(),
                        each.tips()))
            .toList();
    List<Crowd> more =
        clients.stream()
            .map(
                each ->
                    new Crowd(
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

  public List<Event> allEvents() {
    return or(events, List.<Event>of()).stream()
        .sorted(Comparator.comparingDouble(Event::at))
        .toList();
  }

  /**
   * What is wrong with a document by a schema of this class path, one line each, in order; none if
   * it fits.
   */
  public static List<String> faults(JsonNode document, InputStream schema) {
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
        List<String> faults = faults(document, schema);
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
