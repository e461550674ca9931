package rushwood.api;

/** What a host says of itself; a value it does not give is NaN, an unknown role null. */
public record LoadReport(double position, Boolean primary, double queue, double use) {
    public static final LoadReport NONE = new LoadReport(Double.NaN, null, Double.NaN, Double.NaN);
}
