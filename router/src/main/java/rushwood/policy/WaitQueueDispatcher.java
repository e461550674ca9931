package rushwood.policy;

/** Gives free slots to waiting requests, first attempts before retries. */
final class WaitQueueDispatcher {
  private final QueuePolicy queuePolicy;
  private final AttemptSender sender;

  WaitQueueDispatcher(QueuePolicy queuePolicy, AttemptSender sender) {
    this.queuePolicy = queuePolicy;
    this.sender = sender;
  }

  /** Gives the free slots of all members, in order of id, to waiting requests. */
  void dispatch(GroupState group, long now) {
    group.members().forEach(host -> dispatch(host, now));
  }

  /** Gives a host's free slots to waiting requests. */
  void dispatch(HostState host, long now) {
    if (host.hasGroup()) {
      dispatch(host.group().firstAttempts, host, now);
      dispatch(host.group().retries, host, now);
    }
  }

  private void dispatch(WaitQueue queue, HostState host, long now) {
    PendingRequest next = queuePolicy.next(queue, host, now);
    while (next != null) {
      sender.send(next, host, now);
      next = queuePolicy.next(queue, host, now);
    }
  }
}
