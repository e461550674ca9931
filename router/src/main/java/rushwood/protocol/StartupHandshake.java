package rushwood.protocol;

import io.netty.buffer.ByteBuf;

/**
 * Processes the messages that a client may send before its session starts: an encryption request, a
 * request to cancel the statement of another connection, or a startup message.
 */
final class StartupHandshake {
  /** The effect of a message on the connection. */
  enum Result {
    /** Encryption was refused; the client may continue without it. */
    ENCRYPTION_REFUSED,
    /** The cancel request was passed on; the connection has no further purpose. */
    CANCEL_REQUESTED,
    /** The session was started. */
    SESSION_STARTED
  }

  private static final int VERSION_BYTES = 4;
  private static final int CANCEL_KEY_BYTES = 8;
  private static final int SSL_REQUEST_CODE = 80877103;
  private static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;
  private static final int CANCEL_REQUEST_CODE = 80877102;
  private static final char ENCRYPTION_REFUSED_RESPONSE = 'N';

  private final FrontendCallbacks callbacks;

  StartupHandshake(FrontendCallbacks callbacks) {
    this.callbacks = callbacks;
  }

  /** Returns whether a message with this body is followed by another startup message. */
  static boolean isFollowedByAnother(ByteBuf body) {
    return body.readableBytes() >= VERSION_BYTES
        && isEncryptionRequest(body.getInt(body.readerIndex()));
  }

  private static boolean isEncryptionRequest(int version) {
    return version == SSL_REQUEST_CODE || version == GSS_ENCRYPTION_REQUEST_CODE;
  }

  /**
   * Processes the body of a message and writes the response, if the message has one.
   *
   * @throws ProtocolException (fatal) if the message has no version or an unsupported one
   */
  Result process(ByteBuf message, ByteBuf out) throws ProtocolException {
    if (message.readableBytes() < VERSION_BYTES) {
      throw ProtocolException.protocolViolation("a startup message without a version");
    }
    int version = message.readInt();
    switch (version) {
      case SSL_REQUEST_CODE, GSS_ENCRYPTION_REQUEST_CODE -> {
        out.writeByte(ENCRYPTION_REFUSED_RESPONSE);
        return Result.ENCRYPTION_REFUSED;
      }
      case CANCEL_REQUEST_CODE -> {
        requestCancel(message);
        return Result.CANCEL_REQUESTED;
      }
      default -> {
        startSession(version, out);
        return Result.SESSION_STARTED;
      }
    }
  }

  /** Writes no response: by the protocol, the sender does not learn whether the key was valid. */
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
