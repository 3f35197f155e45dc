package ploverdale.shutdown;

/** Ops a second, counted with weights that fade: the newest second counts most. Times in milliseconds. */
public final class Traffic {
    private final double fadesInMs;
    private double weight;
    private long at;

    public Traffic(double fadesInMs) {
        this.fadesInMs = fadesInMs;
    }

    public void request(long nowMs) {
        fade(nowMs);
        weight++;
    }

    /** A count that another traffic has, as a start. */
    public void startAt(double perSecond, long nowMs) {
        weight = perSecond * fadesInMs / 1000;
        at = nowMs;
    }

    public double perSecond(long nowMs) {
        fade(nowMs);
        return weight * 1000 / fadesInMs;
    }

    private void fade(long nowMs) {
        weight *= Math.exp(-Math.max(0, nowMs - at) / fadesInMs);
        at = Math.max(at, nowMs);
    }
}
