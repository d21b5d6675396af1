package org.rattanplank.bench.fleet;

/**
 * A cost as a line over two sizes: {@code fixed + perPeer * peers + perCentre * centres}. Immutable and thread safe.
 *
 * @param fixed the cost with neither
 * @param perPeer the cost of each peer in the data centre
 * @param perCentre the cost of each other data centre
 */
public record Slope(double fixed, double perPeer, double perCentre) {

    /**
     * Fits a line by least squares.
     *
     * @param peers the peers of each point
     * @param centres the other data centres of each point
     * @param costs the cost of each point
     * @return the line
     */
    public static Slope fit(double[] peers, double[] centres, double[] costs) {
        double[][] sums = new double[3][4];
        for (int i = 0; i < costs.length; i++) {
            double[] row = {1, peers[i], centres[i], costs[i]};
            for (int r = 0; r < sums.length; r++) {
                for (int c = 0; c < row.length; c++) {
                    sums[r][c] += row[r] * row[c];
                }
            }
        }
        double[] solved = solve(sums);
        return new Slope(solved[0], solved[1], solved[2]);
    }

    private static double[] solve(double[][] rows) {
        int size = rows.length;
        for (int pivot = 0; pivot < size; pivot++) {
            for (int row = 0; row < size; row++) {
                if (row == pivot) {
                    continue;
                }
                double factor = rows[row][pivot] / rows[pivot][pivot];
                for (int column = pivot; column <= size; column++) {
                    rows[row][column] -= factor * rows[pivot][column];
                }
            }
        }
        double[] solved = new double[size];
        for (int row = 0; row < size; row++) {
            solved[row] = rows[row][size] / rows[row][row];
        }
        return solved;
    }

    /**
     * Finds the cost at a size.
     *
     * @param peers peers in the data centre
     * @param centres other data centres
     * @return the cost
     */
    public double at(double peers, double centres) {
        return fixed + perPeer * peers + perCentre * centres;
    }
}
