package rushwood.discovery;

import java.util.List;
import rushwood.dispatch.PartialEndpoint;

/** Thrown if discovery's response is not an endpoint list, exceeds a size limit or is truncated. */
public final class UnreadableListException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<PartialEndpoint> leavingEndpoints;

  UnreadableListException(String reason, List<PartialEndpoint> leavingEndpoints) {
    super(reason);
    this.leavingEndpoints = leavingEndpoints;
  }

  /**
   * Returns the draining and removed endpoints that were read before the error. They must be taken
   * into account, because sending to a leaving host does more harm than not sending to a ready one.
   */
  public List<PartialEndpoint> leavingEndpoints() {
    return leavingEndpoints;
  }
}
