package rushwood.protocol;

/**
 * The memory that all clients of a router share.
 *
 * @param statements holds input of clients
 * @param output holds output to clients
 */
public record ClientMemory(StatementMemory statements, OutputMemory output) {
  /** Creates memory that is not in use. */
  public ClientMemory() {
    this(new StatementMemory(), new OutputMemory());
  }

  /** Returns the number of bytes in use. */
  public long usedBytes() {
    return statements.usedBytes() + output.usedBytes();
  }
}
