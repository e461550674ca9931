package rushwood.testbed.load;

import java.io.IOException;

/**
 * Thrown when an experiment file is invalid; the message is one line that names the invalid field
 * or the syntax error.
 */
public final class InvalidExperimentException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidExperimentException(String message) {
    super(message);
  }

  InvalidExperimentException(String message, Throwable cause) {
    super(message, cause);
  }
}
