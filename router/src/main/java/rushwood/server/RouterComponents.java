package rushwood.server;

import rushwood.discovery.DiscoveryClient;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.FrontendServer;

/**
 * The parts of one running router. All of them belong to the event loop and are used on it only.
 *
 * @param clock time as of the current turn of the event loop
 * @param timerQueue everything that is due later
 * @param counters what {@code SHOW counters} prints
 * @param logger the log, limited in lines per second
 * @param dispatcher requests in flight, with the routing policy and the connections to backends
 * @param frontend client connections; the handler of the listening socket's children
 * @param discoveryClient the source of endpoint lists
 */
record RouterComponents(
    EventLoopClock clock,
    TimerQueue timerQueue,
    Counters counters,
    RateLimitedLogger logger,
    RequestDispatcher dispatcher,
    FrontendServer frontend,
    DiscoveryClient discoveryClient) {}
