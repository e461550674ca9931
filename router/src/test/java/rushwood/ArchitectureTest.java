package rushwood;

import static java.util.Map.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The packages of the router depend on each other only as the table says, and it has no cycle. */
class ArchitectureTest {
  private static final Path SOURCES = Path.of("src/main/java/rushwood");

  /** The package of {@link Main}. */
  private static final String ROOT = "";

  /** For each package of the router those that it may import from. */
  private static final Map<String, Set<String>> ALLOWED_IMPORTS =
      Map.ofEntries(
          entry("api", Set.of()),
          entry("policy", Set.of("api")),
          entry("overload", Set.of("api")),
          entry("membership", Set.of()),
          entry("dispatch", Set.of("api", "overload")),
          entry("discovery", Set.of("api", "dispatch")),
          entry("protocol", Set.of("api", "dispatch")),
          entry("net", Set.of("api", "overload", "dispatch", "protocol")),
          entry("config", Set.of("api", "overload", "discovery")),
          entry("simulator", Set.of("api", "policy", "config")),
          entry(
              "server",
              Set.of("api", "policy", "overload", "dispatch", "discovery", "net", "config")),
          entry(ROOT, Set.of("config", "server", "simulator")));

  /** Time and events are passed in to these, and what they decide is handed out. */
  private static final Set<String> PACKAGES_WITHOUT_IO =
      Set.of("api", "policy", "overload", "membership");

  /** The only places that know channels and event loops. */
  private static final Set<String> PACKAGES_WITH_SOCKETS = Set.of("net", "server");

  private static final Path DISCOVERY_CONNECTOR =
      SOURCES.resolve("discovery/DiscoveryConnector.java");

  private static final Pattern IMPORT = Pattern.compile("import (?:static )?([\\w.]+);");
  private static final Pattern OWN_IMPORT = Pattern.compile("rushwood\\.([a-z]+)\\..*");
  private static final Pattern IO_IMPORT =
      Pattern.compile("(io\\.netty|java\\.io|java\\.net|java\\.nio\\.(channels|file))\\..*");
  private static final Pattern SOCKET_IMPORT =
      Pattern.compile("(io\\.netty\\.(bootstrap|channel)|java\\.nio\\.channels)\\..*");

  private record Import(Path file, String imported) {
    String importingPackage() {
      return packageOf(file);
    }

    /** The package of the router that it imports from; its own one for an import from elsewhere. */
    String importedPackage() {
      var own = OWN_IMPORT.matcher(imported);
      return own.matches() ? own.group(1) : importingPackage();
    }

    @Override
    public String toString() {
      return SOURCES.relativize(file) + " imports " + imported;
    }
  }

  @Test
  void packagesImportOnlyFromThoseBelowThem() throws IOException {
    assertNone(
        found ->
            !found.importedPackage().equals(found.importingPackage())
                && !ALLOWED_IMPORTS
                    .getOrDefault(found.importingPackage(), Set.of())
                    .contains(found.importedPackage()));
  }

  @Test
  void everyPackageStandsInTheTable() throws IOException {
    Set<String> packages = new HashSet<>();
    for (Path file : sourceFiles()) {
      packages.add(packageOf(file));
    }
    assertEquals(ALLOWED_IMPORTS.keySet(), packages);
  }

  @Test
  void allowedImportsHaveNoCycle() {
    Set<String> ordered = new HashSet<>();
    boolean progress = true;
    while (progress) {
      progress = false;
      for (var each : ALLOWED_IMPORTS.entrySet()) {
        progress |= ordered.containsAll(each.getValue()) && ordered.add(each.getKey());
      }
    }
    assertEquals(ALLOWED_IMPORTS.keySet(), ordered, "the others are part of a cycle or above one");
  }

  @Test
  void decidingPackagesDoNoIo() throws IOException {
    assertNone(
        found ->
            PACKAGES_WITHOUT_IO.contains(found.importingPackage())
                && IO_IMPORT.matcher(found.imported()).matches());
  }

  @Test
  void socketsAreUsedOnlyByTheNetworkCode() throws IOException {
    assertNone(
        found ->
            !PACKAGES_WITH_SOCKETS.contains(found.importingPackage())
                && !found.file().equals(DISCOVERY_CONNECTOR)
                && SOCKET_IMPORT.matcher(found.imported()).matches());
  }

  private static void assertNone(Predicate<Import> forbidden) throws IOException {
    List<Import> imports = new ArrayList<>();
    for (Path file : sourceFiles()) {
      IMPORT
          .matcher(Files.readString(file))
          .results()
          .forEach(match -> imports.add(new Import(file, match.group(1))));
    }
    assertTrue(imports.size() > ALLOWED_IMPORTS.size(), "too few imports found: " + imports);
    assertEquals(List.of(), imports.stream().filter(forbidden).toList());
  }

  private static String packageOf(Path file) {
    return SOURCES.relativize(file.getParent()).toString().replace('/', '.');
  }

  private static List<Path> sourceFiles() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files.filter(file -> file.toString().endsWith(".java")).toList();
    }
  }
}
