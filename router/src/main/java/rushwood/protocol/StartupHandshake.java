package rushwood.protocol;

import io.netty.buffer.ByteBuf;

/**
 * The messages of a client that come before its session: a request for encryption, a request to
 * cancel the statement of another connection, or the start of the session.
 */
final class StartupHandshake {
  /** What has become of the connection with a message. */
  enum Progress {
    /** Encryption was refused; the client may go on without. */
    ENCRYPTION_REFUSED,
    /** The client's request to cancel was passed on; the connection has no further use. */
    CANCEL_REQUESTED,
    /** The session was started. */
    SESSION_STARTED
  }

  private static final int VERSION_BYTES = 4;
  private static final int CANCEL_KEY_BYTES = 8;
  private static final int SSL_REQUEST_CODE = 80877103;
  private static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;
  private static final int CANCEL_REQUEST_CODE = 80877102;
  private static final char ENCRYPTION_REFUSED = 'N';

  private final FrontendCallbacks callbacks;

  StartupHandshake(FrontendCallbacks callbacks) {
    this.callbacks = callbacks;
  }

  /**
   * Processes the body of a message and writes its answer, if it has one.
   *
   * @throws ProtocolException that is fatal, if the message has no version or one that is not
   *     spoken
   */
  Progress process(ByteBuf message, ByteBuf out) throws ProtocolException {
    if (message.readableBytes() < VERSION_BYTES) {
      throw ProtocolException.protocolViolation("a startup message without a version");
    }
    int version = message.readInt();
    switch (version) {
      case SSL_REQUEST_CODE, GSS_ENCRYPTION_REQUEST_CODE -> {
        out.writeByte(ENCRYPTION_REFUSED);
        return Progress.ENCRYPTION_REFUSED;
      }
      case CANCEL_REQUEST_CODE -> {
        requestCancel(message);
        return Progress.CANCEL_REQUESTED;
      }
      default -> {
        startSession(version, out);
        return Progress.SESSION_STARTED;
      }
    }
  }

  /** Has no answer, by the protocol: nobody is to learn whether the key was right. */
  private void requestCancel(ByteBuf message) {
    if (message.readableBytes() == CANCEL_KEY_BYTES) {
      callbacks.cancelRequest(message.readLong());
    }
  }

  private void startSession(int version, ByteBuf out) throws ProtocolException {
    if (version >> 16 != MessageWriter.PROTOCOL_VERSION >> 16) {
      throw ProtocolException.fatal(
          SqlState.FEATURE_NOT_SUPPORTED, "only version 3 of the protocol is spoken");
    }
    if (version != MessageWriter.PROTOCOL_VERSION) {
      MessageWriter.writeNegotiateProtocolVersion(out);
    }
    MessageWriter.writeStartupResponse(out, callbacks.cancelKey());
  }
}
