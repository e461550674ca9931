package rushwood.testbed.standin;

import java.io.IOException;

/** A jar does not hold the classes that it should have been built from. */
public final class StaleJarException extends IOException {
  private static final long serialVersionUID = 1L;

  StaleJarException(String message) {
    super(message);
  }
}
