package rushwood.api;

public record AccessId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
