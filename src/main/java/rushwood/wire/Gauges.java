package rushwood.wire;

import rushwood.api.LoadReport;

/** Reads what hosts say of themselves; what cannot be read counts as not said. */
final class Gauges {
    private static final double SECOND = 1e9;
    private static final long MS = 1_000_000L;

    private Gauges() {
    }

    /** A Unix time in milliseconds as nanoseconds; negative for none. */
    static long position(String text) {
        try {
            long millis = Long.parseLong(text);
            return millis > 0 && millis <= Long.MAX_VALUE / MS ? millis * MS : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    static LoadReport read(String text) {
        double position = Double.NaN;
        Boolean primary = null;
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            String name = equals < 0 ? "" : pair.substring(0, equals).strip();
            if (name.equals("x0")) {
                position = number(pair.substring(equals + 1)) * SECOND;
            } else if (name.equals("x1")) {
                double role = number(pair.substring(equals + 1));
                primary = Double.isNaN(role) ? null : Boolean.valueOf(role == 1);
            }
        }
        return new LoadReport(position, primary);
    }

    private static double number(String text) {
        try {
            double value = Double.parseDouble(text.strip());
            return Double.isFinite(value) ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
