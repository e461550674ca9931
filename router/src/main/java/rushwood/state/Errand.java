package rushwood.state;

import io.netty.buffer.ByteBuf;
import rushwood.api.HostId;

/** One use of a connection to a host: a shot or a probe. */
abstract class Errand {
  final HostId host;
  Pool.Connection on;
  long beginBy = Long.MAX_VALUE; // nothing of it is written any more from then on
  boolean over;

  Errand(HostId host) {
    this.host = host;
  }

  abstract ByteBuf statement();

  boolean probe() {
    return false;
  }

  /** Told once; whoever implements it releases the answer. */
  abstract void ended(HostAnswer answer);
}
