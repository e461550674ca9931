package rushwood.testbed.load;

import java.io.IOException;

/** An experiment's file is invalid; the message is one line that names the field and the reason. */
public final class InvalidExperimentException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidExperimentException(String message) {
    super(message);
  }

  InvalidExperimentException(String message, Throwable cause) {
    super(message, cause);
  }
}
