package rushwood.api;

import java.util.List;
import java.util.Map;

/** The settings that the decisions read, decoded once at start. Times in nanoseconds. */
public record Settings(int routers, List<Product> products, Map<CustomerId, Double> sharesPerSecond, ZoneId zone,
        boolean askForList, Behind behind, boolean answersTellPosition, boolean reportsInAnswers, boolean reports,
        boolean listNamesPrimary, boolean routerRemembersWrites, long positionZero, boolean mayProbe, boolean mayCancel,
        boolean mayAdvise, long longestAdvice, int mostShots, boolean shotsTogether, long resolution, long drainGrace,
        boolean goneBinds, double coldFrom, long coldFor, double fallMultiple, long fallWindow, long askWithin) {

    /** What a host does with a read that it is too far behind for. */
    public enum Behind { ANSWERS, TURNS_AWAY, HOLDS }
}
