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

/** Checks that packages of the router import only what the table below allows. */
class ArchitectureTest {
  private static final Path SOURCES = Path.of("src/main/java/rushwood");

  /** The package of {@link Main}, relative to {@code rushwood}. */
  private static final String ROOT = "";

  /** Maps each package of the router to the packages that it may import from. */
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

  /** Packages that receive time and events as arguments and return or call back decisions. */
  private static final Set<String> PACKAGES_WITHOUT_IO =
      Set.of("api", "policy", "overload", "membership");

  /** Packages that may use channels and event loops, besides {@link #DISCOVERY_CONNECTOR}. */
  private static final Set<String> PACKAGES_WITH_SOCKETS = Set.of("net", "server");

  private static final Path DISCOVERY_CONNECTOR =
      SOURCES.resolve("discovery/DiscoveryConnector.java");

  private static final Pattern IMPORT = Pattern.compile("import (?:static )?([\\w.]+);");
  private static final Pattern ROUTER_IMPORT = Pattern.compile("rushwood\\.([a-z]+)\\..*");
  private static final Pattern IO_IMPORT =
      Pattern.compile("(io\\.netty|java\\.io|java\\.net|java\\.nio\\.(channels|file))\\..*");
  private static final Pattern SOCKET_IMPORT =
      Pattern.compile("(io\\.netty\\.(bootstrap|channel)|java\\.nio\\.channels)\\..*");

  private record Import(Path file, String imported) {
    String importingPackage() {
      return packageOf(file);
    }

    /** Returns the imported package, or the importing one if the type is not of the router. */
    String importedPackage() {
      var routerImport = ROUTER_IMPORT.matcher(imported);
      return routerImport.matches() ? routerImport.group(1) : importingPackage();
    }

    @Override
    public String toString() {
      return SOURCES.relativize(file) + " imports " + imported;
    }
  }

  @Test
  void packagesHaveOnlyAllowedImports() throws IOException {
    assertNoImport(
        candidate ->
            !candidate.importedPackage().equals(candidate.importingPackage())
                && !ALLOWED_IMPORTS
                    .getOrDefault(candidate.importingPackage(), Set.of())
                    .contains(candidate.importedPackage()));
  }

  @Test
  void everyPackageIsInTheTable() throws IOException {
    Set<String> packages = new HashSet<>();
    for (Path file : sourceFiles()) {
      packages.add(packageOf(file));
    }
    assertEquals(ALLOWED_IMPORTS.keySet(), packages);
  }

  @Test
  void allowedImportsHaveNoCycle() {
    Set<String> acyclic = new HashSet<>();
    boolean progress = true;
    while (progress) {
      progress = false;
      for (var entry : ALLOWED_IMPORTS.entrySet()) {
        progress |= acyclic.containsAll(entry.getValue()) && acyclic.add(entry.getKey());
      }
    }
    assertEquals(ALLOWED_IMPORTS.keySet(), acyclic, "the others are in a cycle or depend on one");
  }

  @Test
  void packagesWithoutIoImportNoIoTypes() throws IOException {
    assertNoImport(
        candidate ->
            PACKAGES_WITHOUT_IO.contains(candidate.importingPackage())
                && IO_IMPORT.matcher(candidate.imported()).matches());
  }

  @Test
  void onlyNetworkCodeUsesSockets() throws IOException {
    assertNoImport(
        candidate ->
            !PACKAGES_WITH_SOCKETS.contains(candidate.importingPackage())
                && !candidate.file().equals(DISCOVERY_CONNECTOR)
                && SOCKET_IMPORT.matcher(candidate.imported()).matches());
  }

  private static void assertNoImport(Predicate<Import> forbidden) throws IOException {
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
