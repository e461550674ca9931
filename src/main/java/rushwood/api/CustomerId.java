package rushwood.api;

public record CustomerId(String value) {
    @Override
    public String toString() {
        return value;
    }
}
