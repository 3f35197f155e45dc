package ploverdale.state;

/** Estimates how often answers of a server are lost on the network while the server works, as opposed to being slow. */
public final class AnswerLoss {
    private static final double NEWEST_WEIGHT = 0.1;
    /** Latency inflation of received answers from which on a missing answer is attributed to load. */
    private static final double LOAD_INFLATION = 1.5;
    /** If more answers than this are missing in a row, they were not lost on the network. */
    private static final int MAX_LOST_IN_A_ROW = 2;
    /**
     * Share of lost answers that justifies early retries. Must exceed 0.05: one answer in twenty does not arrive
     * in time merely because its request takes long.
     */
    private static final double NOTABLE_SHARE = 0.12;

    private int missedInARow;
    private double lostShare;
    private double answeredInflation = 1;

    /**
     * Records an answer.
     *
     * @param inflation its latency as a multiple of the usual one
     */
    public void recordAnswer(double inflation) {
        missedInARow = 0;
        lostShare *= 1 - NEWEST_WEIGHT;
        answeredInflation += NEWEST_WEIGHT * (inflation - answeredInflation);
    }

    /**
     * Records an answer that did not arrive in time.
     *
     * @return whether it was probably lost rather than slow
     */
    public boolean recordMissing() {
        missedInARow++;
        boolean lost = missedInARow <= MAX_LOST_IN_A_ROW && answeredInflation < LOAD_INFLATION;
        lostShare += lost ? NEWEST_WEIGHT * (1 - lostShare) : 0;
        return lost;
    }

    /** Returns the most that a lost answer counts as load, as a multiple of the usual latency. */
    public static double loadOfLostAnswer() {
        return LOAD_INFLATION;
    }

    /** Returns whether enough answers are lost that an early retry is worth its cost. */
    public boolean isNotable() {
        return lostShare > NOTABLE_SHARE;
    }
}
