package rushwood.cli;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Finds files by the paths of earlier versions, in which the module {@code testbed/} was {@code
 * lab/}.
 */
final class FormerPaths {
  private static final Path FORMER_MODULE = Path.of("lab");
  private static final Path MODULE = Path.of("testbed");

  private FormerPaths() {}

  /** The given path; if nothing is there, what now stands where its {@code lab/} used to be. */
  static Path resolve(Path given) {
    if (Files.exists(given)) {
      return given;
    }
    for (int i = 0; i < given.getNameCount(); i++) {
      if (given.getName(i).equals(FORMER_MODULE)) {
        Path moved = replaceName(given, i);
        if (Files.exists(moved)) {
          return moved;
        }
      }
    }
    return given;
  }

  private static Path replaceName(Path path, int index) {
    Path replaced = path.isAbsolute() ? path.getRoot() : Path.of("");
    for (int i = 0; i < path.getNameCount(); i++) {
      replaced = replaced.resolve(i == index ? MODULE : path.getName(i));
    }
    return replaced;
  }
}
