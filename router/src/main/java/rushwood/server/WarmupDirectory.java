package rushwood.server;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

/** Creates the directory for the sockets of the warm-up. */
final class WarmupDirectory {
  /** The address of a Unix socket has 108 bytes, with a terminator and the name of the socket. */
  private static final int MAX_PATH_BYTES = 100;

  private WarmupDirectory() {}

  /**
   * Creates a new directory in the one that {@code TMPDIR} names, or in the default directory for
   * temporary files if it is not set.
   *
   * @param environment the environment variables of the process
   * @throws IOException if the directory cannot be created, or its path is too long for sockets in
   *     it; nothing is left behind then
   */
  static Path create(Map<String, String> environment) throws IOException {
    String parent = environment.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"));
    Path directory;
    try {
      directory = Files.createTempDirectory(Path.of(parent), "warmup");
    } catch (InvalidPathException e) {
      throw new IOException("not a path: " + parent, e);
    }
    int pathBytes = directory.toString().getBytes(StandardCharsets.UTF_8).length;
    if (pathBytes > MAX_PATH_BYTES) {
      Files.delete(directory);
      throw new IOException("too long for the path of a socket: " + directory);
    }
    return directory;
  }
}
