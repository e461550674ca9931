package rushwood.testbed.model;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The request classes in the configuration of the testbed's routers, in the order in which it lists
 * them.
 */
public enum TestbedRequestClass {
  /** A read of data that is at most {@link HostModel#MAX_STALENESS_NANOS} old. */
  BOUNDED_READ("pass", false),
  /** A write that must not run twice. */
  NON_IDEMPOTENT_WRITE("pay", true),
  /** A read of data of any age. */
  EVENTUAL_READ("any", false),
  /** A write with an idempotency key. */
  KEYED_WRITE("mark", true);

  private final String wireName;
  private final boolean isWrite;

  TestbedRequestClass(String wireName, boolean isWrite) {
    this.wireName = wireName;
    this.isWrite = isWrite;
  }

  /** Returns the name in settings, statements and experiment files. */
  @JsonValue
  public String wireName() {
    return wireName;
  }

  /** Returns whether requests of this class are writes. */
  public boolean isWrite() {
    return isWrite;
  }
}
