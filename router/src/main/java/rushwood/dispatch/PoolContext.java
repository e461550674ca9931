package rushwood.dispatch;

/** What the connections of a pool share. */
record PoolContext(
    BackendConnection.Connector connector,
    EventLoopClock clock,
    TimerQueue timers,
    Counters counters,
    ConnectionSettings settings,
    IdleLimit idleLimit,
    OpenConnections openConnections) {}
