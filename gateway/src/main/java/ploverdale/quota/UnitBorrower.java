package ploverdale.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import ploverdale.membership.PacketQueue;

/**
 * Borrows units of lease holders where this gateway needs more than it holds. A loan that is needed is extended at
 * half of its time; of one that is not, half is returned at a time. A loan counts from before it was asked for, so
 * that it ends here before it does at the lender.
 *
 * <p>Counts are units by budget, times tenths of a millisecond of a monotonic clock. Not thread-safe, called on the
 * thread of {@link QuotaProtocol}.
 */
final class UnitBorrower {
    private static final long MS = 10;
    private static final long REQUEST_INTERVAL = 50 * MS; // while more is needed than is held
    private static final int LENDERS_AT_ONCE = 2;
    private static final long IDLE_BEFORE_RETURN = 1000 * MS;

    /** One loan, as this gateway has it. */
    private static final class BorrowedUnits {
        private final int lender;
        private final int number; // the lender's
        private final int[] units;
        private long until;
        private int extension; // number of the request that asks for more time; 0: none is pending
        private long idleSince;

        private BorrowedUnits(int lender, int number, int[] units, long until, long now) {
            this.lender = lender;
            this.number = number;
            this.units = units;
            this.until = until;
            idleSince = now;
        }
    }

    /**
     * A request for units that is not answered yet.
     *
     * @param extended this gateway's own number of the loan to extend; 0 for a new one
     */
    private record Question(int lender, long at, int extended) {}

    private final int me;
    private final QuotaAllocation division;
    private final LeaseDurations leaseDurations;
    private final RandomGenerator random;
    private final HeldUnits[] held;
    private final UnitLedger demand;
    private final IntSupplier nextNumber;
    private final int budgets;
    private final Map<Integer, BorrowedUnits> loans = new LinkedHashMap<>(); // by a number of this gateway's own
    private final Map<Integer, Question> questions = new LinkedHashMap<>();
    private final long[] lentAt; // by gateway: when it lent units last; 0 for never, or where it had none
    private long requestedAt;

    /**
     * @param random chooses whom to ask
     * @param held by budget, shared with {@link QuotaProtocol}
     * @param nextNumber numbers of requests and loans, never the same twice
     */
    UnitBorrower(
            int me,
            QuotaAllocation division,
            LeaseDurations leaseDurations,
            RandomGenerator random,
            HeldUnits[] held,
            UnitLedger demand,
            IntSupplier nextNumber) {
        this.me = me;
        this.division = division;
        this.leaseDurations = leaseDurations;
        this.random = random;
        this.held = held;
        this.demand = demand;
        this.nextNumber = nextNumber;
        budgets = held.length;
        lentAt = new long[division.gateways()];
    }

    /**
     * Extends and returns loans and asks for new ones, as they are due.
     *
     * @param present whether a gateway is alive as far as this one knows
     */
    void onTick(long now, IntPredicate present, PacketQueue out) {
        questions.values().removeIf(question -> now - question.at > leaseDurations.subLease());
        loans.values().removeIf(loan -> now >= loan.until);
        loans.forEach((own, loan) -> {
            returnIdleUnits(now, loan, out);
            extendIfDue(now, own, loan, out);
        });
        if (now - requestedAt >= REQUEST_INTERVAL) {
            requestedAt = now;
            requestMissingUnits(now, present, out);
        }
    }

    private void requestMissingUnits(long now, IntPredicate present, PacketQueue out) {
        int[] missing = new int[budgets];
        boolean any = false;
        for (int budget = 0; budget < budgets; budget++) {
            missing[budget] = demand.missing(now, budget);
            any |= missing[budget] > 0;
        }
        if (!any || recentRequests(now) >= LENDERS_AT_ONCE) {
            return;
        }
        for (int lender : chooseLenders(present)) {
            int number = nextNumber.getAsInt();
            questions.put(number, new Question(lender, now, 0));
            out.add(lender, QuotaMessageCodec.unitRequest(number, 0, missing));
        }
    }

    private long recentRequests(long now) {
        return questions.values().stream()
                .filter(question -> question.extended == 0 && now - question.at < REQUEST_INTERVAL)
                .count();
    }

    /** The one who lent last, if any is present, and others at random. */
    private List<Integer> chooseLenders(IntPredicate present) {
        int latest = -1;
        List<Integer> others = new ArrayList<>();
        for (int gateway = 0; gateway < division.gateways(); gateway++) {
            if (gateway != me && present.test(gateway)) {
                boolean later = lentAt[gateway] > 0 && (latest < 0 || lentAt[gateway] > lentAt[latest]);
                latest = later ? gateway : latest;
                others.add(gateway);
            }
        }
        List<Integer> chosen = new ArrayList<>();
        if (latest >= 0) {
            chosen.add(latest);
            others.remove((Integer) latest);
        }
        while (chosen.size() < LENDERS_AT_ONCE && !others.isEmpty()) {
            chosen.add(others.remove(random.nextInt(others.size())));
        }
        return chosen;
    }

    /**
     * A lease holder has lent units or extended a loan. Answers that come twice, too late, or to an earlier start of
     * this gateway are ignored.
     */
    void onGrant(long now, int from, int request, int number, int[] listed) {
        Question question = questions.remove(request);
        if (question == null || question.lender != from || number == 0) {
            return;
        }
        long until = question.at + leaseDurations.subLease(); // from before the lender's own count begins
        if (until <= now) {
            return;
        }
        int[] units = Arrays.stream(listed).map(count -> Math.max(0, count)).toArray();
        BorrowedUnits loan;
        if (question.extended == 0) {
            loan = new BorrowedUnits(from, number, units, until, now);
            loans.put(nextNumber.getAsInt(), loan);
            lentAt[from] = Arrays.stream(units).sum() > 0 ? now : 0;
        } else {
            loan = loans.get(question.extended);
            if (loan == null || loan.number != number) {
                return;
            }
            extend(loan, units, until);
        }
        for (int budget = 0; budget < budgets; budget++) {
            held[budget].holds(now, loan, loan.units[budget], loan.until);
        }
    }

    private void extend(BorrowedUnits loan, int[] units, long until) {
        for (int budget = 0; budget < budgets; budget++) {
            loan.units[budget] = Math.min(loan.units[budget], units[budget]);
        }
        loan.until = until;
        loan.extension = 0;
    }

    /** Of each budget of which units were spare for a while, half of those goes back to the lender. */
    private void returnIdleUnits(long now, BorrowedUnits loan, PacketQueue out) {
        int[] kept = new int[budgets];
        boolean idle = false;
        boolean returns = false;
        for (int budget = 0; budget < budgets; budget++) {
            int spare = Math.min(loan.units[budget], demand.spare(now, budget));
            idle |= spare > 0;
            int returned = spare > 0 && now - loan.idleSince > IDLE_BEFORE_RETURN ? (spare + 1) / 2 : 0;
            kept[budget] = loan.units[budget] - returned;
            returns |= returned > 0;
        }
        loan.idleSince = idle && !returns ? loan.idleSince : now;
        if (!returns) {
            return;
        }
        for (int budget = 0; budget < budgets; budget++) {
            loan.units[budget] = kept[budget];
            held[budget].holds(now, loan, kept[budget], loan.until); // before the message that says so
        }
        out.add(loan.lender, QuotaMessageCodec.unitReturn(loan.number, kept));
    }

    /** Asks for more time from half of the loan's time on; again where no answer has come for an eighth of it. */
    private void extendIfDue(long now, int own, BorrowedUnits loan, PacketQueue out) {
        boolean any = Arrays.stream(loan.units).anyMatch(count -> count > 0);
        if (any && loan.extension == 0 && loan.until - now < leaseDurations.subLease() / 2) {
            loan.extension = nextNumber.getAsInt();
            questions.put(loan.extension, new Question(loan.lender, now, own));
            out.add(loan.lender, QuotaMessageCodec.unitRequest(loan.extension, loan.number, loan.units));
        } else if (loan.extension != 0) {
            Question pending = questions.get(loan.extension);
            if (pending == null || now - pending.at > leaseDurations.subLease() / 8) {
                loan.extension = 0;
            }
        }
    }

    /** Units of a budget in loans that have not ended. */
    int borrowed(long now, int budget) {
        int units = 0;
        for (BorrowedUnits loan : loans.values()) {
            units += now < loan.until ? loan.units[budget] : 0;
        }
        return units;
    }

    /** Appends all that tells two states apart, for an explorer. */
    void describe(long now, StringBuilder to) {
        for (BorrowedUnits loan : loans.values()) {
            to.append(" | b").append(loan.lender).append(Arrays.toString(loan.units));
            to.append(loan.until - now).append(loan.extension != 0);
        }
        for (Question question : questions.values()) {
            to.append(" | q").append(question.lender).append(' ').append(now - question.at);
            to.append(question.extended != 0);
        }
    }
}
