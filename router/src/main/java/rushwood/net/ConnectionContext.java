package rushwood.net;

import java.util.List;
import rushwood.api.RequestClass;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.overload.ConnectionAdmission;

/** What all connections of clients share. */
record ConnectionContext(
    RequestDispatcher dispatcher,
    EventLoopClock clock,
    TimerQueue timers,
    Counters counters,
    List<RequestClass> requestClasses,
    ConnectionAdmission admission,
    ConnectionRegistry registry,
    LingeringConnections lingeringConnections,
    StatementMemory statementMemory) {}
