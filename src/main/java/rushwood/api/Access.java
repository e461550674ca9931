package rushwood.api;

/**
 * One thing a client asks of the databases. {@code due} is the end of this try. {@code sinceWrite} is the time since
 * the session's last commit as the client knows it, 0 where there is none. Absent customer or session: null.
 */
public record Access(AccessId id, Product product, CustomerId customer, SessionId session, GroupId group, long due,
        long sinceWrite) {
}
