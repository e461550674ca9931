package rushwood.discovery;

import java.util.List;
import rushwood.dispatch.PartialEndpoint;

/** What discovery sent is no endpoint list, is beyond a bound or ends too early. */
public final class UnreadableListException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<PartialEndpoint> leavingEndpoints;

  UnreadableListException(String reason, List<PartialEndpoint> leavingEndpoints) {
    super(reason);
    this.leavingEndpoints = leavingEndpoints;
  }

  /**
   * The draining and removed endpoints that were read before the fault. They still count: sending
   * to a leaving host is the greater harm.
   */
  public List<PartialEndpoint> leavingEndpoints() {
    return leavingEndpoints;
  }
}
