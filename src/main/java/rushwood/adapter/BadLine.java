package rushwood.adapter;

/** A line that cannot be read; the message names the line and the field. */
final class BadLine extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadLine(String message) {
        super(message);
    }
}
