package ploverdale.state;

/** How long ops of one type take, lately and as a rule. */
public final class LatencyEstimate {
    public double recent;
    public double usual;
    public long samples;
    public long at;

    public LatencyEstimate(double start) {
        recent = start;
        usual = start;
    }
}
