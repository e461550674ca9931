package rushwood.cli;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resolves file paths of earlier versions, in which the module {@code testbed/} was named {@code
 * lab/}.
 */
final class LegacyPaths {
  private static final Path LEGACY_MODULE = Path.of("lab");
  private static final Path CURRENT_MODULE = Path.of("testbed");

  private LegacyPaths() {}

  /**
   * Returns the path if a file exists there. Otherwise returns the path with one {@code lab/}
   * element replaced by {@code testbed/} if that file exists, else the path unchanged.
   */
  static Path resolve(Path path) {
    if (Files.exists(path)) {
      return path;
    }
    for (int i = 0; i < path.getNameCount(); i++) {
      if (path.getName(i).equals(LEGACY_MODULE)) {
        Path moved = replaceName(path, i);
        if (Files.exists(moved)) {
          return moved;
        }
      }
    }
    return path;
  }

  private static Path replaceName(Path path, int index) {
    Path replaced = path.isAbsolute() ? path.getRoot() : Path.of("");
    for (int i = 0; i < path.getNameCount(); i++) {
      replaced = replaced.resolve(i == index ? CURRENT_MODULE : path.getName(i));
    }
    return replaced;
  }
}
