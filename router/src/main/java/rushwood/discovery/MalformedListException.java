package rushwood.discovery;

/** The tokenizer cannot go on: bytes that are no list, or a bound that is exceeded. */
final class MalformedListException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedListException(String reason) {
    super(reason);
  }
}
