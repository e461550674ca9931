package rushwood.server;

import rushwood.discovery.DiscoveryClient;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.FrontendServer;

/**
 * The components of one running router. All of them are used on its event loop only.
 *
 * @param clock the time of the current turn of the event loop
 * @param timerQueue the tasks that are scheduled for later
 * @param counters the counters that {@code SHOW counters} returns
 * @param logger the logger, limited in lines per second
 * @param dispatcher the requests in flight, the routing policy and the backend connections
 * @param frontend the client connections; child handler of the listening socket
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
