package rushwood.testbed.model;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The request classes that the testbed's routers are configured with, in the order of their
 * settings.
 */
public enum TestbedRequestClass {
  /** A read whose data may be somewhat old, see {@link HostModel#MAX_STALENESS_NANOS}. */
  BOUNDED_READ("pass", false),
  /** A write that must not run twice. */
  NON_IDEMPOTENT_WRITE("pay", true),
  /** A read whose data may be of any age. */
  EVENTUAL_READ("any", false),
  /** A write with an idempotency key. */
  KEYED_WRITE("mark", true);

  private final String wireName;
  private final boolean isWrite;

  TestbedRequestClass(String wireName, boolean isWrite) {
    this.wireName = wireName;
    this.isWrite = isWrite;
  }

  /** Its name in settings, statements and experiment files. */
  @JsonValue
  public String wireName() {
    return wireName;
  }

  /** Whether its requests are writes. */
  public boolean isWrite() {
    return isWrite;
  }
}
